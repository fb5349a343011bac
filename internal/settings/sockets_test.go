package settings

import "testing"

// TestSockets guards against one use taking the sockets of another: with one
// controller left, each machine's worker reports there and is told its new token
// directly within seconds.
func TestSockets(t *testing.T) {
	for _, c := range []struct{ most, machines int }{
		{2274, 1382}, {2274, 2070}, {3362, 2088}, {1200, 72}, {4000, 42}, {200, 20}, {60, 10},
	} {
		s := &Settings{}
		s.Peers = make([]Peer, 2)
		s.Deployment.Process.MaxConnections = c.most
		k := allocateSockets(c.most, len(s.Peers))
		sum := 2 + k.Public + k.Internal + k.DirectCommands + k.Peers*len(s.Peers) + k.Store + k.Lease + k.Cloud
		if sum > c.most && c.most >= 100 {
			t.Errorf("%d sockets: %d dealt out", c.most, sum)
		}
		// Beyond Crowded a worker's connection lasts for one report only, so
		// there is room for more workers than sockets.
		if k.Crowded < c.machines*3/4 || k.Public-k.Crowded < 3 || k.Lease < 2 || k.DirectCommands < 8 {
			t.Errorf("%d sockets, %d machines: %+v", c.most, c.machines, k)
		}
		// Too few of them are no reason not to start, but are said.
		s.Deployment.Process.MemMB = 186
		s.Deployment.Workers.LeaseS, s.Deployment.Workers.CancelS = 18, 48
		if said := len(s.Warnings()); said != 0 && c.most >= 200 || said == 0 && c.most < 200 {
			t.Errorf("%d sockets: %d warnings", c.most, said)
		}
	}
}
