package store

import (
	"testing"

	"spurmoor/internal/core"
)

// FuzzDecode guards against garbage that passes for an answer: a transaction
// taken for carried out, or a lease of no number.
func FuzzDecode(f *testing.F) {
	f.Add(int(core.OpTxn), 200, []byte(`{"Revision":432}`))
	f.Add(int(core.OpTxn), 409, []byte(`{"failed":["a/b"],"Revision":431}`))
	f.Add(int(core.OpTxn), 200, []byte(`{"Revision":`))
	f.Add(int(core.OpHold), 200, []byte(`{"Arriendo":"7"}`))
	f.Add(int(core.OpFollow), 200, []byte(`{"Revision":433,"Log":[{"Write":"c/9","Data":{},"Edicion":433},{"Drop":"c/d","Edicion":432}]}`))
	f.Fuzz(func(t *testing.T, op, status int, body []byte) {
		r := &core.StoreReply{}
		if err := decode(core.StoreCall{Op: core.StoreOp(op)}, status, body, r); err != nil && r.Status != 0 {
			t.Errorf("unreadable, yet status %d", r.Status)
		}
		if r.Status != 0 && r.Status != status {
			t.Errorf("status %d became %d", status, r.Status)
		}
		if r.Status == 200 && (core.StoreOp(op) == core.OpTxn && r.Txn.Revision == 0 || core.StoreOp(op) == core.OpHold && r.Lease == 0) {
			t.Errorf("garbage passed for an answer: %q", body)
		}
	})
}
