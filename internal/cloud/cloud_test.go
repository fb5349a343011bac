package cloud

import (
	"testing"

	"spurmoor/internal/message"
)

// FuzzDecode guards against malformed replies that count as replies. Above all, a launch must
// not count as refused or made when its outcome is unknown.
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
			t.Errorf("reply with status %d: got status %d, error %v, want 0 with an error, else the same", status, reply.Status, err)
		}
	})
}
