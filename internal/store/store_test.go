package store

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/message"
	"spurmoor/internal/settings"
)

// TestWatchTooLarge guards against the reply to a watch that is too large to be held in
// memory. It must be reported, and have status Gone, so that all keys are listed again by page.
func TestWatchTooLarge(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, maxReplyBytes+1)) })
	}()
	set := &settings.Settings{}
	set.Endpoints.State = listener.Addr().String()
	limits := &set.Deployment.Store
	limits.RPS, limits.WriteRPS, limits.MaxTransactionOps = 100, 100, 10
	reported := 0
	client := New(set, nil, func(string, error) { reported++ })
	reply := client.Do(t.Context(), message.StoreCall{Op: message.OpWatch, Since: 7})
	if reply.Status != 410 || reported != 1 {
		t.Errorf("got status %d, reported %d times, want 410 and once", reply.Status, reported)
	}
}

// FuzzDecode guards against malformed replies that count as success: a transaction without a
// revision, or a lease without a number.
func FuzzDecode(f *testing.F) {
	f.Add(int(message.OpTransaction), 200, []byte(`{"Revision":432}`))
	f.Add(int(message.OpTransaction), 409, []byte(`{"failed":["a/b"],"Revision":431}`))
	f.Add(int(message.OpTransaction), 200, []byte(`{"Revision":`))
	f.Add(int(message.OpTransaction), 200, []byte(`{}`))
	f.Add(int(message.OpGrantLease), 200, []byte(`{}`))
	f.Add(int(message.OpGrantLease), 200, []byte(`{"Arriendo":"7"}`))
	f.Add(int(message.OpWatch), 200, []byte(
		`{"Revision":433,"Log":[{"Write":"c/9","Data":{},"Edicion":433},{"Drop":"c/d","Edicion":432}]}`))
	f.Fuzz(func(t *testing.T, number, status int, body []byte) {
		operation := message.StoreOp(number)
		reply := &message.StoreReply{}
		if err := decode(operation, status, body, reply); err != nil && reply.Status != 0 {
			t.Errorf("malformed reply: got status %d, want 0", reply.Status)
		}
		if reply.Status != 0 && reply.Status != status {
			t.Errorf("reply with status %d: got status %d, want the same or 0", status, reply.Status)
		}
		noRevision := operation == message.OpTransaction && reply.Transaction.Revision == 0
		noLease := operation == message.OpGrantLease && reply.LeaseID == 0
		if reply.Status == 200 && (noRevision || noLease) {
			t.Errorf("got status 200 for the body %q without a revision or lease, want 0", body)
		}
	})
}
