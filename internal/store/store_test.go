package store

import (
	"net"
	"testing"

	"spurmoor/internal/message"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/settings"
)

// TestWatchTooLarge guards against a log of changes too large to be held: it
// is logged, and everything is read again by pages.
func TestWatchTooLarge(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, maxAnswer+1)) })
	}()
	set := &settings.Settings{}
	set.Endpoints.State = ln.Addr().String()
	set.Deployment.Store.RPS, set.Deployment.Store.WriteRPS, set.Deployment.Store.MaxTransactionOps = 100, 100, 10
	told := 0
	r := New(set, nil, func(string, error) { told++ }).Do(message.StoreCall{Op: message.OpWatch, Since: 7})
	if r.Status != 410 || told != 1 {
		t.Errorf("status %d, logged %d times", r.Status, told)
	}
}

// FuzzDecode guards against garbage that passes for an answer: a transaction
// taken for carried out, or a lease of no number.
func FuzzDecode(f *testing.F) {
	f.Add(int(message.OpTransaction), 200, []byte(`{"Revision":432}`))
	f.Add(int(message.OpTransaction), 409, []byte(`{"failed":["a/b"],"Revision":431}`))
	f.Add(int(message.OpTransaction), 200, []byte(`{"Revision":`))
	f.Add(int(message.OpGrantLease), 200, []byte(`{"Arriendo":"7"}`))
	f.Add(int(message.OpWatch), 200, []byte(`{"Revision":433,"Log":[{"Write":"c/9","Data":{},"Edicion":433},{"Drop":"c/d","Edicion":432}]}`))
	f.Fuzz(func(t *testing.T, op, status int, body []byte) {
		r := &message.StoreReply{}
		if err := decode(message.StoreCall{Op: message.StoreOp(op)}, status, body, r); err != nil && r.Status != 0 {
			t.Errorf("unreadable, yet status %d", r.Status)
		}
		if r.Status != 0 && r.Status != status {
			t.Errorf("status %d became %d", status, r.Status)
		}
		if r.Status == 200 && (message.StoreOp(op) == message.OpTransaction && r.Transaction.Revision == 0 || message.StoreOp(op) == message.OpGrantLease && r.Lease == 0) {
			t.Errorf("garbage passed for an answer: %q", body)
		}
	})
}
