package simulation

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// The digest covers the random scenario with digestSeedCount consecutive seeds from
// firstDigestSeed on.
const (
	digestSeedCount = 200
	firstDigestSeed = 1000
)

var printDigest = flag.Bool("digest", false, "print a digest of all effects over every scenario and the random runs")

// TestDigest prints one hash over everything that the controllers send, write and answer,
// with its simulated time, in every scenario and in 200 random runs. Log lines are left
// out. A change that only moves or renames code doesn't change the digest. The hashes of
// the runs are sorted before they are hashed together, so renaming a scenario file doesn't
// change it either. The digest is not compared with a stored value.
func TestDigest(t *testing.T) {
	if !*printDigest {
		t.Skip("no -digest")
	}
	scenarios := digestScenarios(t)
	sums := make([]string, len(scenarios))
	var running sync.WaitGroup
	slots := make(chan struct{}, 4)
	for index, scenario := range scenarios {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			sums[index] = digestOf(t, scenario.text)
		}()
	}
	running.Wait()
	for i, sum := range sums {
		t.Logf("%s %.16s", scenarios[i].name, sum)
	}
	slices.Sort(sums)
	t.Logf("digest of %d runs: %x", len(scenarios), sha256.Sum256([]byte(strings.Join(sums, "\n"))))
}

// namedScenario is the text of a scenario with the name under which its hash is printed.
type namedScenario struct{ name, text string }

// digestScenarios returns every scenario, followed by the random scenario with each seed.
func digestScenarios(t *testing.T) []namedScenario {
	t.Helper()
	var scenarios []namedScenario
	for _, file := range scenarioFiles(t) {
		scenarios = append(scenarios, namedScenario{file, readFile(t, file)})
	}
	random := readFile(t, randomScenario)
	for seed := firstDigestSeed; seed < firstDigestSeed+digestSeedCount; seed++ {
		scenarios = append(scenarios, namedScenario{"random run " + strconv.Itoa(seed), withSeed(random, seed)})
	}
	return scenarios
}

// digestOf runs a scenario and returns the hash of its effects in hexadecimal. It returns
// an empty string if the scenario cannot be parsed.
func digestOf(t *testing.T, text string) string {
	t.Helper()
	scenario, err := Parse([]byte(text))
	if err != nil {
		t.Error(err)
		return ""
	}
	sum := sha256.New()
	observe := func(at micros.Micros, node string, effect message.Effect) { hashEffect(sum, at, node, effect) }
	if _, _, err := runObserved(scenario, observe); err != nil {
		t.Error(err)
	}
	return fmt.Sprintf("%x", sum.Sum(nil))
}

// hashEffect adds one effect to the hash value by value, so that renaming its Go type or
// its fields doesn't change the digest.
func hashEffect(sum hash.Hash, at micros.Micros, node string, effect message.Effect) {
	add := func(kind string, values ...any) {
		text, err := json.Marshal(values)
		if err != nil {
			panic(err) // plain records: cannot fail
		}
		_, _ = fmt.Fprintln(sum, at, node, kind, string(text)) // writing to a hash never fails
	}
	switch effect := effect.(type) {
	case message.Answer:
		if _, refused := effect.Body.(api.Error); refused {
			effect.Body = nil // the texts of the JSON library's errors differ between builds
		}
		if order, ok := effect.Body.(leadership.Order[api.HeartbeatResponse]); ok {
			effect.Body = order.Body()
		}
		add("answer", effect.RequestID, effect.Status, effect.Body, effect.RetryAfterS)
	case message.StoreCall:
		add("store", effect.CallID, effect.Op, effect.Key, effect.Since, effect.WaitMs, effect.LeaseID, effect.TTLMs,
			effect.Transaction.Body(), effect.Urgent)
	case message.CloudCall:
		add("cloud", effect.CallID, effect.Op, effect.Launch.Body(), effect.Delete.Body(), effect.After)
	case message.SendCommands:
		add("commands", effect.Machine, effect.Addr, effect.StartsTasks, effect.Body.Body())
	case message.Broadcast:
		// The heartbeat is encoded as on the wire, where the tags of its fields
		// name them, so that renaming a Go field doesn't change the digest.
		heartbeat := *effect.Heartbeat
		encoded, err := peer.Encode(&heartbeat)
		if err != nil {
			panic(err) // plain records: cannot fail
		}
		add("heartbeat", encoded)
	}
}
