package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

const (
	// minScannedOutcomes is how many terminal records are read at least by a scan. Fewer are read
	// one by one.
	minScannedOutcomes = 32
	// maxOutcomeScans bounds the scans in flight.
	maxOutcomeScans = 4
)

// outcomeScan reads the terminal records of many jobs by pages of the store's sorted keys, so
// that the number of requests is at most that of the pages with such records.
type outcomeScan struct {
	graph      *DependencyGraph
	ids        []string // sorted
	next       int      // index of the next id to look for
	missing    []string // jobs without a terminal record
	unreadable []string // jobs whose terminal record can't be decoded
	onComplete func(*outcomeScan)
}

// scanOutcomes reads the terminal records of jobs. It calls onComplete after the last page, or
// when a page was not read.
func (g *DependencyGraph) scanOutcomes(ids []string, onComplete func(*outcomeScan)) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	scan := &outcomeScan{graph: g, ids: slices.Compact(ids), onComplete: onComplete}
	g.outcomeScans++
	scan.requestPage()
}

// failed returns the ids whose records were not read: a page was not read, or they are
// unreadable.
func (s *outcomeScan) failed() []string { return append(s.unreadable, s.ids[s.next:]...) }

// firstMissing returns a job without a terminal record, or "" if there is none.
func (s *outcomeScan) firstMissing() string {
	if len(s.missing) == 0 {
		return ""
	}
	return s.missing[0]
}

// requestPage requests the page that begins with the record of the next id.
func (s *outcomeScan) requestPage() {
	call := message.StoreCall{Op: message.OpListTerminal, Key: keyBefore(records.TerminalPrefix + s.ids[s.next])}
	s.graph.CallStore(call, s.handlePage)
}

// keyBefore returns a string that sorts before a job's key and after the keys of all jobs that
// sort before it.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

// handlePage records the outcomes that a page shows, and requests the next page.
func (s *outcomeScan) handlePage(reply *message.StoreReply) {
	if reply.Status != message.StatusOK {
		s.complete()
		return
	}
	page := reply.Page
	for _, pair := range page.Pairs {
		s.skipBefore(pair.Key)
		if s.next < len(s.ids) && pair.Key == records.TerminalPrefix+s.ids[s.next] {
			s.recordOutcome(pair)
		}
	}
	if !page.More || len(page.Pairs) == 0 {
		s.skipBefore("")
	}
	if s.next == len(s.ids) {
		s.complete()
		return
	}
	s.requestPage()
}

// skipBefore marks the ids whose keys sort before the given one as missing: the page would show
// them. If the key is empty, it marks all remaining ids.
func (s *outcomeScan) skipBefore(key string) {
	for s.next < len(s.ids) && (key == "" || records.TerminalPrefix+s.ids[s.next] < key) {
		s.missing = append(s.missing, s.ids[s.next])
		s.next++
	}
}

// recordOutcome records the outcome of the next id.
func (s *outcomeScan) recordOutcome(pair api.KeyValue) {
	id := s.ids[s.next]
	s.next++
	record, ok := decodeTerminalRecord(pair.Value)
	if !ok {
		s.unreadable = append(s.unreadable, id)
		return
	}
	s.graph.RecordTerminalState(id, record)
}

func (s *outcomeScan) complete() {
	s.graph.outcomeScans--
	s.onComplete(s)
}
