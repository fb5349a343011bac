package cloud

import (
	"testing"

	"spurmoor/internal/message"
)

// FuzzDecode guards against garbage that passes for a reply: above all a launch taken for
// refused or made when neither is known.
func FuzzDecode(f *testing.F) {
	f.Add(int(message.OpReadCatalog), 200, []byte(`{"Tipos":[{"Label":"g8","Vcpus":96,"Zonas":["a","b"]}]}`))
	f.Add(int(message.OpLaunch), 200, []byte(`{"Maquinas":["n-000231"]}`))
	f.Add(int(message.OpLaunch), 200, []byte(`{"Maquinas":"n-000231"}`))
	f.Add(int(message.OpLaunch), 503, []byte(`{"error":"no capacity"}`))
	f.Add(int(message.OpListInstances), 200, []byte(`{"Maquinas":[{"Id":"n-000231","AgeS":61.5}],"Truncated":false`))
	f.Fuzz(func(t *testing.T, op, status int, body []byte) {
		reply := &message.CloudReply{}
		err := decode(message.CloudOp(op), status, body, reply)
		if err != nil && reply.Status != 0 || err == nil && reply.Status != status {
			t.Errorf("status %d became %d with error %v", status, reply.Status, err)
		}
	})
}
