package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs a command line. It returns the output, the exit code and the error's text.
func execute(t *testing.T, stdin string, args ...string) (string, int, string) {
	t.Helper()
	var out strings.Builder
	cmd := rootCommand()
	cmd.SetIn(strings.NewReader(stdin))
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	if err := cmd.Execute(); err != nil {
		return out.String(), exitCode(err), err.Error()
	}
	return out.String(), 0, ""
}

// rolesResponse is a response to GET /duties.
const rolesResponse = `{"node":"nodo-0","one_holder":true,"records_rentals":false,"duties":[` +
	`{"duty":"sweep","holder":"nodo-0","term":7,"since_s":12.5,"remaining_s":2.5,` +
	`"orders_refused":{"rent, expired":2,"delete, stale":1}},{"duty":"partition 1"}],"orders_refused":{"rent, stale":3}}`

// startService starts a service that echoes its requests. It answers /duties with
// rolesResponse and refuses wk-429 and wk-404. It returns its address.
func startService(t *testing.T) string {
	t.Helper()
	service := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			t.Error(err)
		}
		switch request.URL.Path {
		case "/duties":
			_, err = io.WriteString(response, rolesResponse+"\n")
		case "/work/wk-429":
			response.Header().Set("Retry-After", "2")
			response.WriteHeader(http.StatusTooManyRequests)
			_, err = io.WriteString(response, `{"error":"too many requests"}`)
		case "/work/wk-404":
			response.WriteHeader(http.StatusNotFound)
		default:
			_, err = fmt.Fprintln(response, request.Method, request.URL.Path, request.Header.Get("Content-Type"), string(body))
		}
		if err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(service.Close)
	return strings.TrimPrefix(service.URL, "http://")
}

// TestClientCommands checks what the client commands send and print, and their exit codes.
func TestClientCommands(t *testing.T) {
	addr := startService(t)
	for _, tc := range []struct {
		name    string
		args    []string
		out     string
		code    int
		errText string
	}{
		{"submit", []string{"submit", "-"}, "POST /work application/json {\"Id\":\"wk-1\"}\n", 0, ""},
		{"status", []string{"status", "wk-1"}, "GET /work/wk-1\n", 0, ""},
		{"why", []string{"status", "--why", "wk-1"}, "GET /why/wk-1\n", 0, ""},
		{"cancel", []string{"cancel", "wk-1"}, "POST /work/wk-1/cancel\n", 0, ""},
		{"refused for now", []string{"status", "wk-429"}, "", 3, `status 429: {"error":"too many requests"} (come back in 2 s)`},
		{"refused", []string{"status", "wk-404"}, "", 3, `status 404: `},
		{"roles in JSON", []string{"duties", "--json"}, rolesResponse + "\n", 0, ""},
		{"roles", []string{"duties"}, `DUTY         HOLDER  TERM  SINCE  REMAINING  ORDERS REFUSED HERE
sweep        nodo-0  7     12.5s  2.5s       delete, stale: 1; rent, expired: 2
partition 1  -       -     -      -          none
answered by nodo-0; the fleet's duties have one holder each: true; ` +
			"rentals are recorded first: false; refused under no duty: rent, stale: 3\n", 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, code, errText := execute(t, `{"Id":"wk-1"}`, append(tc.args, "--addr", addr)...)
			if out != tc.out || code != tc.code || errText != tc.errText {
				t.Errorf("got output\n%s, exit code %d, error %s; want\n%s, %d, %s", out, code, errText, tc.out, tc.code, tc.errText)
			}
		})
	}
}

// TestExitCodes guards against exit codes by which scripts can't tell settings that are
// not valid from another failure.
func TestExitCodes(t *testing.T) {
	t.Setenv("SPURMOOR_OPERATORS", "")
	none := filepath.Join(t.TempDir(), "none")
	for _, tc := range []struct {
		args    []string
		code    int
		errText string
	}{
		{nil, exitInvalidSettings, "--config FILE is needed"},
		{[]string{"check"}, exitInvalidSettings, "--config FILE is needed"},
		{[]string{"check", "--config", none}, exitInvalidSettings, "read settings: open " + none + ": no such file or directory"},
		{[]string{"history", none}, exitFailure, "open " + none + ": no such file or directory"},
		{[]string{"submit", none}, exitFailure, "read the job: open " + none + ": no such file or directory"},
		{[]string{"status"}, exitFailure, "accepts 1 arg(s), received 0"},
	} {
		if _, code, errText := execute(t, "", tc.args...); code != tc.code || errText != tc.errText {
			t.Errorf("%q: got exit code %d, error %s; want %d, %s", tc.args, code, errText, tc.code, tc.errText)
		}
	}
}
