package peer

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestRoundTrip(t *testing.T) {
	in := &Heartbeat{Node: "nodo-1", StoreOK: true, Idle: []Idle{{"n-000001"}}, Asks: []Ask{{Machine: "n-000002", Part: 1, Tier: 7}}, Form: 1}
	b, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	out, err := Decode(b)
	if err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("got %+v, %v", out, err)
	}
	b, err = msgpack.Marshal(&Heartbeat{V: Version + 1, Node: "nodo-1"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); err == nil {
		t.Error("another version was taken")
	}
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(&Heartbeat{Node: "nodo-1", Asks: []Ask{{Machine: "n-000002"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := Decode(b); err == nil && (h.Node == "" || h.V != Version) {
			t.Errorf("taken: %+v", h)
		}
	})
}
