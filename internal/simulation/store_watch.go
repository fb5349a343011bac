package simulation

import (
	"net/http"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// eventsSince returns the events of live keys after a revision.
func (s *keyValueStore) eventsSince(revision api.Revision) api.WatchResponse {
	response := api.WatchResponse{Revision: s.revision}
	for _, event := range s.history {
		if event.Version > revision && strings.HasPrefix(event.Put+event.Delete, records.LivePrefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response
}

// openWatch fills in the answer to a watch, or leaves the watch open if there are no events yet
// and the request permits waiting. It reports whether the watch is left open.
func (s *keyValueStore) openWatch(
	sender *node, call message.StoreCall, answer *message.StoreReply, reply func(*message.StoreReply),
) bool {
	if call.Since < s.compactedTo {
		answer.Status = http.StatusGone
		return false
	}
	answer.Watch = s.eventsSince(call.Since)
	if len(answer.Watch.Events) > 0 || call.WaitMs == 0 {
		return false
	}
	watch := &storeWatch{node: sender, since: call.Since, reply: func(received *message.StoreReply) {
		received.CallID = call.CallID
		reply(received)
	}}
	s.watches = append(s.watches, watch)
	s.sim.after(micros.FromMilliseconds(call.WaitMs), func() {
		if !watch.done && s.sim.now >= s.outageUntil && !sender.refusedByStore {
			s.answerWatch(watch, s.eventsSince(watch.since))
		}
	})
	return true
}

// notifyWatches answers the open watches for which there are events now.
func (s *keyValueStore) notifyWatches() {
	if s.sim.now < s.outageUntil {
		return
	}
	open := s.watches[:0]
	for _, watch := range s.watches {
		if watch.done {
			continue
		}
		if response := s.eventsSince(watch.since); len(response.Events) > 0 && !watch.node.refusedByStore {
			s.answerWatch(watch, response)
			continue
		}
		open = append(open, watch)
	}
	s.watches = open
}

// answerWatch answers an open watch and marks it as done.
func (s *keyValueStore) answerWatch(watch *storeWatch, response api.WatchResponse) {
	watch.done = true
	watch.reply(&message.StoreReply{Status: http.StatusOK, Watch: response})
}
