package store

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/core"
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
	r := New(set, nil, func(string, error) { told++ }).Do(core.StoreCall{Op: core.OpWatch, Since: 7})
	if r.Status != 410 || told != 1 {
		t.Errorf("status %d, logged %d times", r.Status, told)
	}
}

// FuzzDecode guards against garbage that passes for an answer: a transaction
// taken for carried out, or a lease of no number.
func FuzzDecode(f *testing.F) {
	f.Add(int(core.OpTransaction), 200, []byte(`{"Revision":432}`))
	f.Add(int(core.OpTransaction), 409, []byte(`{"failed":["a/b"],"Revision":431}`))
	f.Add(int(core.OpTransaction), 200, []byte(`{"Revision":`))
	f.Add(int(core.OpGrantLease), 200, []byte(`{"Arriendo":"7"}`))
	f.Add(int(core.OpWatch), 200, []byte(`{"Revision":433,"Log":[{"Write":"c/9","Data":{},"Edicion":433},{"Drop":"c/d","Edicion":432}]}`))
	f.Fuzz(func(t *testing.T, op, status int, body []byte) {
		r := &core.StoreReply{}
		if err := decode(core.StoreCall{Op: core.StoreOp(op)}, status, body, r); err != nil && r.Status != 0 {
			t.Errorf("unreadable, yet status %d", r.Status)
		}
		if r.Status != 0 && r.Status != status {
			t.Errorf("status %d became %d", status, r.Status)
		}
		if r.Status == 200 && (core.StoreOp(op) == core.OpTransaction && r.Transaction.Revision == 0 || core.StoreOp(op) == core.OpGrantLease && r.Lease == 0) {
			t.Errorf("garbage passed for an answer: %q", body)
		}
	})
}
