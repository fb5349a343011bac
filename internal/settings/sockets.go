package settings

// Sockets divides the sockets that a process may open among its uses. Each use has its
// own share, so that none can exhaust another's: leases are renewed and the load balancer
// is answered however many workers there are.
type Sockets struct {
	Public         int // connections from users, health checks and workers' heartbeats
	KeepAliveLimit int // with more public connections open than that, a worker's is closed after its answer
	Internal       int // connections from the other controllers
	DirectCommands int // direct commands to workers, each closed after its answer
	PerPeer        int // connections to each other controller
	Store          int // requests to the key-value store
	Lease          int // urgent requests to the store: lease renewals and reads that users wait for
	Cloud          int // requests to the cloud
}

// Numbers and shares of sockets for each use. A divisor of n means one socket in n.
const (
	listenerSockets = 2 // public and internal

	minInternalSockets     = 8
	internalSocketsPerPeer = 4

	minDirectCommandSockets     = 8
	maxDirectCommandSockets     = 256
	directCommandSocketsDivisor = 16

	minStoreSockets     = 8
	maxStoreSockets     = 64
	storeSocketsDivisor = 32

	peerSockets  = 2
	leaseSockets = 4
	cloudSockets = 4

	minPublicSockets = 16
	// 1/closingSocketsDivisor of all sockets is left for connections that are being closed.
	closingSocketsDivisor = 32
	// KeepAliveLimit is keepAliveNumerator/keepAliveDenominator of the public sockets.
	keepAliveNumerator, keepAliveDenominator = 4, 5
)

// allocateSockets divides the sockets that a process may open among their uses. Public
// connections get what the other uses leave, but at least minPublicSockets, so with a very
// low limit the sum exceeds it.
func allocateSockets(limit, peers int) Sockets {
	sockets := Sockets{
		Internal:       max(minInternalSockets, internalSocketsPerPeer*peers),
		DirectCommands: min(maxDirectCommandSockets, max(minDirectCommandSockets, limit/directCommandSocketsDivisor)),
		PerPeer:        peerSockets,
		Store:          min(maxStoreSockets, max(minStoreSockets, limit/storeSocketsDivisor)),
		Lease:          leaseSockets,
		Cloud:          cloudSockets,
	}
	sockets.Public = max(minPublicSockets, limit-sockets.nonPublic(peers)-limit/closingSocketsDivisor)
	sockets.KeepAliveLimit = sockets.Public * keepAliveNumerator / keepAliveDenominator
	return sockets
}

// nonPublic returns how many sockets are for other uses than public connections.
func (s Sockets) nonPublic(peers int) int {
	return listenerSockets + s.Internal + s.DirectCommands + s.PerPeer*peers + s.Store + s.Lease + s.Cloud
}
