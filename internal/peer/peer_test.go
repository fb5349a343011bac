package peer

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestRoundTrip(t *testing.T) {
	in := &Heartbeat{Node: "nodo-1", Healthy: true, IdleMachines: []IdleMachine{{"n-000001"}}, MachineRequests: []MachineRequest{{Machine: "n-000002", Partition: 1, Tier: 7}}, SchemaVersion: 1}
	b, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	out, err := Decode(b)
	if err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("got %+v, %v", out, err)
	}
	b, err = msgpack.Marshal(&Heartbeat{Version: Version + 1, Node: "nodo-1"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); err == nil {
		t.Error("another version was taken")
	}
}

// goldenHeartbeat has every field set, so that its bytes name them all.
var goldenHeartbeat = Heartbeat{
	Node: "nodo-1", Healthy: true, IdleMachines: []IdleMachine{{"n-000001"}},
	MachineRequests: []MachineRequest{{Machine: "n-000002", Partition: 1, Reclaim: true, Tier: 7, Guaranteed: true, Spare: true, InheritedTier: 10}},
	WriteRate:       0.5, CancelledJobs: []string{"wk-000001"}, SchemaVersion: 2, Stopping: true,
	Failed: []string{"n-000003"}, Unlisted: []string{"n-000004"}, Orphans: []Orphan{{"n-000005", "g4", "a", true}},
}

// goldenBytes are those of goldenHeartbeat as versions without names in the field
// tags encoded it. They must stay: both versions serve side by side.
const goldenBytes = "8ca15603a44e6f6465a66e6f646f2d31a753746f72654f4bc3a449646c659181a74d616368696e65a86e2d303030303031a441736b739187a74d616368696e65a86e2d303030303032a45061727401a75265636c61696dc3a45469657207aa47756172616e74656564c3a55370617265c3a44c656e740aa6577269746573cb3fe0000000000000a943616e63656c6c656491a9776b2d303030303031a4466f726d02a853746f7070696e67c3a64661696c656491a86e2d303030303033a8556e6c697374656491a86e2d303030303034a65374726179739184a74d616368696e65a86e2d303030303035a454797065a26734a45a6f6e65a161a453706f74c3"

func TestEncodeKeepsTheBytesOfEarlierVersions(t *testing.T) {
	in := goldenHeartbeat
	encoded, err := Encode(&in)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(encoded); got != goldenBytes {
		t.Errorf("encoded as %s, want %s", got, goldenBytes)
	}
	out, err := Decode(encoded)
	if err != nil || !reflect.DeepEqual(&in, out) {
		t.Errorf("decoded as %+v, %v", out, err)
	}
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(&Heartbeat{Node: "nodo-1", MachineRequests: []MachineRequest{{Machine: "n-000002"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := Decode(b); err == nil && (h.Node == "" || h.Version != Version) {
			t.Errorf("taken: %+v", h)
		}
	})
}
