package cloud

import (
	"testing"

	"spurmoor/internal/message"
)

// FuzzDecode guards against garbage that passes for an answer: above all a
// rental taken for refused or made when neither is known.
func FuzzDecode(f *testing.F) {
	f.Add(int(message.OpReadCatalog), 200, []byte(`{"Tipos":[{"Label":"g8","Vcpus":96,"Zonas":["a","b"]}]}`))
	f.Add(int(message.OpLaunch), 200, []byte(`{"Maquinas":["n-000231"]}`))
	f.Add(int(message.OpLaunch), 200, []byte(`{"Maquinas":"n-000231"}`))
	f.Add(int(message.OpLaunch), 503, []byte(`{"error":"no capacity"}`))
	f.Add(int(message.OpListInstances), 200, []byte(`{"Maquinas":[{"Id":"n-000231","AgeS":61.5}],"Truncated":false`))
	f.Fuzz(func(t *testing.T, op, status int, body []byte) {
		r := &message.CloudReply{}
		err := decode(message.CloudCall{Op: message.CloudOp(op)}, status, body, r)
		if err != nil && r.Status != 0 || err == nil && r.Status != status {
			t.Errorf("status %d became %d with error %v", status, r.Status, err)
		}
	})
}
