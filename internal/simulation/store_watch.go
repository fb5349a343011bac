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

// openWatch answers a watch with the events that there are, or leaves it open until there
// are some; it reports whether it does the latter.
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
	watch := &storeWatch{node: sender, since: call.Since, reply: func(got *message.StoreReply) {
		got.CallID = call.CallID
		reply(got)
	}}
	s.watches = append(s.watches, watch)
	s.sim.after(micros.FromMilliseconds(call.WaitMs), func() {
		if !watch.done && s.sim.now >= s.downUntil && !sender.refusedByStore {
			s.answerWatch(watch, s.eventsSince(watch.since))
		}
	})
	return true
}

// notifyWatches answers the open watches for which there are events.
func (s *keyValueStore) notifyWatches() {
	if s.sim.now < s.downUntil {
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

// answerWatch answers an open watch, which ends it.
func (s *keyValueStore) answerWatch(watch *storeWatch, response api.WatchResponse) {
	watch.done = true
	watch.reply(&message.StoreReply{Status: http.StatusOK, Watch: response})
}
