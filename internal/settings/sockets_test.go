package settings

import "testing"

// TestSockets guards against one use exhausting the sockets of another. When only one
// controller is left, the workers of all machines send it their heartbeats, and within
// seconds it sends each its new fencing token directly.
func TestSockets(t *testing.T) {
	for _, tc := range []struct{ limit, machines int }{
		{2274, 1382}, {2274, 2070}, {3362, 2088}, {1200, 72}, {4000, 42}, {200, 20}, {60, 10},
	} {
		const peers = 2
		sockets := allocateSockets(tc.limit, peers)
		sum := 2 + sockets.Public + sockets.Internal + sockets.DirectCommands + sockets.PerPeer*peers +
			sockets.Store + sockets.Lease + sockets.Cloud
		if sum > tc.limit && tc.limit >= 100 {
			t.Errorf("%d sockets: got %d allocated, want no more than there are", tc.limit, sum)
		}
		// Above KeepAliveLimit a worker's connection lasts for one heartbeat only, so
		// there may be more workers than sockets.
		closedOnceAnswered := sockets.Public - sockets.KeepAliveLimit
		if sockets.KeepAliveLimit < tc.machines*3/4 || closedOnceAnswered < 3 || sockets.Lease < 2 || sockets.DirectCommands < 8 {
			t.Errorf("%d sockets, %d machines: got %+v, %d closed; want KeepAliveLimit %d, 3 closed, Lease 2, DirectCommands 8, or more",
				tc.limit, tc.machines, sockets, closedOnceAnswered, tc.machines*3/4)
		}
		// A controller starts with too few sockets too, but warns.
		settings := &Settings{}
		settings.Deployment.Process.MaxConnections = tc.limit
		settings.Deployment.Process.MemMB = 186
		settings.Deployment.Workers.LeaseS, settings.Deployment.Workers.CancelS = 18, 48
		if warnings := len(settings.Warnings()); warnings != 0 && tc.limit >= 200 || warnings == 0 && tc.limit < 200 {
			t.Errorf("%d sockets: got %d warnings, want some below 200 sockets and none from there on", tc.limit, warnings)
		}
	}
}

// TestSocketsAllocated checks the exact allocations.
func TestSocketsAllocated(t *testing.T) {
	for _, tc := range []struct {
		peers, limit int
		want         Sockets
	}{
		{0, 60, Sockets{25, 20, 8, 8, 2, 8, 4, 4}},
		{0, 200, Sockets{156, 124, 8, 12, 2, 8, 4, 4}},
		{0, 1200, Sockets{1033, 826, 8, 75, 2, 37, 4, 4}},
		{0, 3362, Sockets{2965, 2372, 8, 210, 2, 64, 4, 4}},
		{0, 9000, Sockets{8381, 6704, 8, 256, 2, 64, 4, 4}},
		{2, 60, Sockets{21, 16, 8, 8, 2, 8, 4, 4}},
		{2, 200, Sockets{152, 121, 8, 12, 2, 8, 4, 4}},
		{2, 1200, Sockets{1029, 823, 8, 75, 2, 37, 4, 4}},
		{2, 3362, Sockets{2961, 2368, 8, 210, 2, 64, 4, 4}},
		{2, 9000, Sockets{8377, 6701, 8, 256, 2, 64, 4, 4}},
		{6, 60, Sockets{16, 12, 24, 8, 2, 8, 4, 4}},
		{6, 200, Sockets{128, 102, 24, 12, 2, 8, 4, 4}},
		{6, 1200, Sockets{1005, 804, 24, 75, 2, 37, 4, 4}},
		{6, 3362, Sockets{2937, 2349, 24, 210, 2, 64, 4, 4}},
		{6, 9000, Sockets{8353, 6682, 24, 256, 2, 64, 4, 4}},
	} {
		if got := allocateSockets(tc.limit, tc.peers); got != tc.want {
			t.Errorf("%d sockets, %d peers: got %+v, want %+v", tc.limit, tc.peers, got, tc.want)
		}
	}
}
