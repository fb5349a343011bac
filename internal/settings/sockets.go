package settings

// Sockets allocates a process's sockets to its uses, each with room of its own, so
// that none takes the last one from another: a lease is renewed and the load balancer
// answered however many workers there are.
type Sockets struct {
	Public         int // users, health checks and workers' heartbeats
	KeepAliveLimit int // open public connections beyond which a worker's is closed once answered
	Internal       int // the other controllers' messages
	DirectCommands int // direct commands to workers, closed once answered
	Peers          int // to each other controller
	Store          int // requests to the key-value store
	Lease          int // the same, for lease renewals and the reads that users wait for
	Cloud          int // requests to the cloud
}

// How many sockets each use gets of those that a process may open.
const (
	listenerSockets = 2 // public and internal

	minInternalSockets     = 8
	internalSocketsPerPeer = 4

	minDirectCommandSockets   = 8
	maxDirectCommandSockets   = 256
	directCommandSocketsShare = 16 // one in so many

	minStoreSockets   = 8
	maxStoreSockets   = 64
	storeSocketsShare = 32 // one in so many

	peerSockets  = 2
	leaseSockets = 4
	cloudSockets = 4

	minPublicSockets = 16
	// One socket in closingSocketsShare is left for connections that are being closed.
	closingSocketsShare = 32
	// Beyond 4 of 5 public sockets, workers' connections are not kept open.
	keepAliveShare, keepAliveShareOf = 4, 5
)

// allocateSockets spreads the sockets that a process may open over their uses. The
// public ones are what is left; with very few in all, the sum is above the limit.
func allocateSockets(limit, peers int) Sockets {
	sockets := Sockets{
		Internal:       max(minInternalSockets, internalSocketsPerPeer*peers),
		DirectCommands: min(maxDirectCommandSockets, max(minDirectCommandSockets, limit/directCommandSocketsShare)),
		Peers:          peerSockets,
		Store:          min(maxStoreSockets, max(minStoreSockets, limit/storeSocketsShare)),
		Lease:          leaseSockets,
		Cloud:          cloudSockets,
	}
	sockets.Public = max(minPublicSockets, limit-sockets.besidePublic(peers)-limit/closingSocketsShare)
	sockets.KeepAliveLimit = sockets.Public * keepAliveShare / keepAliveShareOf
	return sockets
}

// besidePublic is how many sockets are not for the public, with so many peers.
func (s Sockets) besidePublic(peers int) int {
	return listenerSockets + s.Internal + s.DirectCommands + s.Peers*peers + s.Store + s.Lease + s.Cloud
}
