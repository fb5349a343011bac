package peer

import (
	"encoding/hex"
	"errors"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestRoundTrip(t *testing.T) {
	sent := &Heartbeat{
		Node: "nodo-1", Healthy: true, IdleMachines: []IdleMachine{{"n-000001"}},
		MachineRequests: []MachineRequest{{Machine: "n-000002", Partition: 1, Tier: 7}}, SchemaVersion: 1,
	}
	encoded, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	received, err := Decode(encoded)
	if err != nil || !reflect.DeepEqual(sent, received) {
		t.Errorf("got %+v, error %v, want %+v", received, err, sent)
	}
}

// TestDecodeRefusesInvalidHeader checks that a message of another version or without a sender
// is refused, with an error that contains the version and the sender.
func TestDecodeRefusesInvalidHeader(t *testing.T) {
	for _, tc := range []struct {
		heartbeat Heartbeat
		want      string
	}{
		{Heartbeat{Version: Version + 1, Node: "nodo-1"}, `peer message: version 4, from "nodo-1"`},
		{Heartbeat{Version: Version}, `peer message: version 3, from ""`},
	} {
		encoded, err := msgpack.Marshal(&tc.heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Decode(encoded)
		var header *HeaderError
		if !errors.As(err, &header) || err.Error() != tc.want {
			t.Errorf("%+v: got error %v, want %s", tc.heartbeat, err, tc.want)
		}
	}
}

// goldenHeartbeat has all fields set, so that all their names occur in its encoding.
var goldenHeartbeat = Heartbeat{
	Node: "nodo-1", Healthy: true, IdleMachines: []IdleMachine{{"n-000001"}},
	MachineRequests: []MachineRequest{{
		Machine: "n-000002", Partition: 1, Reclaim: true, Tier: 7, Guaranteed: true, Spare: true, InheritedTier: 10,
	}},
	WriteRate: 0.5, CancelledJobs: []string{"wk-000001"}, SchemaVersion: 2, Stopping: true,
	FailedMachines: []string{"n-000003"}, UnlistedMachines: []string{"n-000004"}, Orphans: []Orphan{{"n-000005", "g4", "a", true}},
}

// goldenBytes is the encoding of goldenHeartbeat by versions without names in the field tags.
// It must not change, because different versions run side by side.
const goldenBytes = "8ca15603a44e6f6465a66e6f646f2d31a753746f72654f4bc3a449646c659181a74d616368696e65a86e2d3030303030" +
	"31a441736b739187a74d616368696e65a86e2d303030303032a45061727401a75265636c61696dc3a45469657207aa47" +
	"756172616e74656564c3a55370617265c3a44c656e740aa6577269746573cb3fe0000000000000a943616e63656c6c65" +
	"6491a9776b2d303030303031a4466f726d02a853746f7070696e67c3a64661696c656491a86e2d303030303033a8556e" +
	"6c697374656491a86e2d303030303034a65374726179739184a74d616368696e65a86e2d303030303035a454797065a2" +
	"6734a45a6f6e65a161a453706f74c3"

func TestEncodeKeepsTheBytesOfEarlierVersions(t *testing.T) {
	sent := goldenHeartbeat
	encoded, err := Encode(&sent)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(encoded); got != goldenBytes {
		t.Errorf("encoding: got %s, want %s", got, goldenBytes)
	}
	received, err := Decode(encoded)
	if err != nil || !reflect.DeepEqual(&sent, received) {
		t.Errorf("decoding: got %+v, error %v, want %+v", received, err, &sent)
	}
}

func FuzzDecode(f *testing.F) {
	seed, err := Encode(&Heartbeat{Node: "nodo-1", MachineRequests: []MachineRequest{{Machine: "n-000002"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		heartbeat, err := Decode(encoded)
		if err == nil && (heartbeat.Node == "" || heartbeat.Version != Version) {
			t.Errorf("got %+v without an error, want a sender and version %d", heartbeat, Version)
		}
	})
}
