package simulation

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
)

// reply writes a response of a simulated service or worker, with its body in JSON.
func (l *loopbackCluster) reply(writer http.ResponseWriter, status int, body any) {
	writer.WriteHeader(status)
	if err := json.MarshalWrite(writer, body); err != nil {
		l.t.Logf("reply: %v", err)
	}
}

// serveStore serves the HTTP API of the key-value store.
func (l *loopbackCluster) serveStore(writer http.ResponseWriter, request *http.Request) {
	call, err := parseStoreCall(request)
	if err != nil {
		l.reply(writer, http.StatusBadRequest, api.Error{Error: err.Error()})
		return
	}
	replies := make(chan *message.StoreReply, 1)
	l.withLock(func() {
		l.sim.store.call(l.sim.nodes[0], call, func(reply *message.StoreReply) { replies <- reply })
	})
	reply := <-replies
	bodies := map[message.StoreOp]any{
		message.OpGet:          reply.Item,
		message.OpList:         reply.Page,
		message.OpListTerminal: reply.Page,
		message.OpTransaction:  reply.Transaction,
		message.OpGrantLease:   api.LeaseResponse{Lease: reply.LeaseID},
		message.OpRenewLease:   struct{}{},
		message.OpWatch:        reply.Watch,
	}
	l.reply(writer, reply.Status, bodies[call.Op])
}

// parseStoreCall returns the call in a request to the key-value store. It returns an error if
// the body cannot be decoded, and a zero call for an unknown path.
func parseStoreCall(request *http.Request) (message.StoreCall, error) {
	path, query := request.URL.Path, request.URL.Query()
	switch {
	case path == "/store":
		if query.Get("Under") == records.TerminalPrefix {
			return message.StoreCall{Op: message.OpListTerminal, Key: query.Get("Since")}, nil
		}
		return message.StoreCall{Op: message.OpList, Key: query.Get("Since")}, nil
	case strings.HasPrefix(path, "/store/"):
		return message.StoreCall{Op: message.OpGet, Key: strings.TrimPrefix(path, "/store/")}, nil
	case path == "/txn":
		transaction := &api.Transaction{}
		err := json.UnmarshalRead(request.Body, transaction)
		grant := leadership.SharedGrant(leadership.ForUser, leadership.ActionWrite)
		return message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(grant, transaction)}, err
	case path == "/holds":
		var lease api.LeaseRequest
		err := json.UnmarshalRead(request.Body, &lease)
		return message.StoreCall{Op: message.OpGrantLease, TTLMs: lease.TTLMs}, err
	case strings.HasSuffix(path, "/extend"):
		lease, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64) // zero if it is no number, which is no lease's id
		return message.StoreCall{Op: message.OpRenewLease, LeaseID: lease}, nil
	case path == "/follow":
		since, wait := queryInt(query, "Since"), queryInt(query, "BlockMs")
		return message.StoreCall{Op: message.OpWatch, Since: api.Revision(since), WaitMs: wait}, nil
	}
	return message.StoreCall{}, nil
}

// queryInt returns a query parameter as a number; zero if it is missing or no number.
func queryInt(query url.Values, name string) int {
	number, _ := strconv.Atoi(query.Get(name)) // zero in case of an error
	return number
}

// serveCloud serves the HTTP API of the cloud to a process. The addresses of the listed
// workers are those at which this process reaches them.
func (l *loopbackCluster) serveCloud(index int, writer http.ResponseWriter, request *http.Request) {
	call := parseCloudCall(request)
	var reply *message.CloudReply
	l.withLock(func() {
		reply = l.sim.cloud.call(l.sim.nodes[index], call)
		for i := range reply.Instances.Instances {
			instance := &reply.Instances.Instances[i]
			instance.Address = l.workerAddrs[instance.Address][index]
		}
	})
	bodies := map[message.CloudOp]any{
		message.OpReadCatalog:   reply.Catalog,
		message.OpLaunch:        api.InstanceNames{Machines: reply.Launched},
		message.OpDelete:        struct{}{},
		message.OpListInstances: reply.Instances,
	}
	l.reply(writer, reply.Status, bodies[call.Op])
}

// parseCloudCall returns the call in a request to the cloud. If the body cannot be decoded,
// the call launches or deletes nothing.
func parseCloudCall(request *http.Request) message.CloudCall {
	switch {
	case request.URL.Path == "/catalog":
		return message.CloudCall{Op: message.OpReadCatalog}
	case request.URL.Path == "/machines/delete":
		var names api.InstanceNames
		_ = json.UnmarshalRead(request.Body, &names)
		grant := leadership.SharedGrant(leadership.ForFleet, leadership.ActionDelete)
		return message.CloudCall{Op: message.OpDelete, Delete: leadership.NewOrder(grant, names.Machines)}
	case request.Method == http.MethodPost:
		launch := &api.LaunchRequest{}
		_ = json.UnmarshalRead(request.Body, launch)
		grant := leadership.SharedGrant(leadership.ForFleet, leadership.ActionLaunch)
		return message.CloudCall{Op: message.OpLaunch, Launch: leadership.NewOrder(grant, launch)}
	}
	return message.CloudCall{Op: message.OpListInstances, After: request.URL.Query().Get("Since")}
}

// listen serves a worker's commands to each process at a separate address, and returns the
// one for the first process. The caller holds mu.
func (l *loopbackCluster) listen(target *worker) string {
	var addrs [processCount]string
	for i := range addrs {
		addrs[i] = l.listenAndServe(l.relay.handler(i, func(writer http.ResponseWriter, request *http.Request) {
			l.serveCommands(target, writer, request)
		}))
	}
	l.workerAddrs[addrs[0]] = addrs
	return addrs[0]
}

// serveCommands passes direct commands to a worker. It closes the connection if the worker is
// down or does not answer.
func (l *loopbackCluster) serveCommands(target *worker, writer http.ResponseWriter, request *http.Request) {
	var commands api.CommandRequest
	if json.UnmarshalRead(request.Body, &commands) != nil {
		l.reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	var status int
	var heartbeat *api.Heartbeat
	l.withLock(func() {
		if target.up && !target.terminated {
			status, heartbeat = target.receiveCommands(commands)
		}
	})
	if heartbeat == nil {
		panic(http.ErrAbortHandler) // as for a machine that does not exist any more
	}
	l.reply(writer, status, heartbeat)
}

// sendHeartbeat sends a worker's heartbeat to a process without waiting, and calls receive
// with the answer, with mu held. The caller holds mu.
func (l *loopbackCluster) sendHeartbeat(index int, heartbeat *api.Heartbeat, receive func(message.Answer)) {
	sent := *heartbeat
	sent.Address = l.workerAddrs[heartbeat.Address][index]
	body, err := json.Marshal(sent)
	if err != nil {
		l.t.Error(err)
		return
	}
	go func() {
		status, raw := l.request(http.MethodPost, index, "/v1/report", body)
		answer := message.Answer{Status: status}
		var response api.HeartbeatResponse
		var redirect api.Redirect
		if status == http.StatusOK && json.Unmarshal(raw, &response) == nil {
			answer.Body = response
		} else if json.Unmarshal(raw, &redirect) == nil {
			answer.Body = redirect
		}
		l.withLock(func() { receive(answer) })
	}()
}
