package simulation

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"os"
	"path/filepath"
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

// digestSeeds is how many random days the digest covers.
const digestSeeds = 200

var printDigest = flag.Bool("digest", false, "print a digest of all effects over every scenario and the random days")

// TestDigest prints one hash over everything that the controllers send, write
// and answer, with its simulated time, in every scenario and in 200 random days.
// Log lines are left out. A change that only moves or renames code leaves the
// digest as it was. The sums of the days are put in order before they are hashed
// together, so a renamed scenario file leaves it as it was too. The value is not
// checked against anything stored.
func TestDigest(t *testing.T) {
	if !*printDigest {
		t.Skip("no -digest")
	}
	days := digestScenarios(t)
	sums := make([]string, len(days))
	names := digestNames(t)
	var running sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i, text := range days {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			sums[i] = digestOf(t, text)
		}()
	}
	running.Wait()
	for i, sum := range sums {
		t.Logf("%s %.16s", names[i], sum)
	}
	slices.Sort(sums)
	t.Logf("digest of %d days: %x", len(days), sha256.Sum256([]byte(strings.Join(sums, "\n"))))
}

// digestNames names the days that digestDays gives.
func digestNames(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("testdata/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range digestSeeds {
		names = append(names, "random day "+strconv.Itoa(1000+seed))
	}
	return names
}

// digestScenarios gives the text of each scenario and random day.
func digestScenarios(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	var days []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		days = append(days, string(text))
	}
	random, err := os.ReadFile("testdata/random_1.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range digestSeeds {
		days = append(days, strings.Replace(string(random), "seed = 1\n", "seed = "+strconv.Itoa(1000+seed)+"\n", 1))
	}
	return days
}

// digestOf plays one day and hashes its effects.
func digestOf(t *testing.T, text string) string {
	sc, err := Parse([]byte(text))
	if err != nil {
		t.Error(err)
		return ""
	}
	sum := sha256.New()
	observe := func(at micros.Micros, node string, effect message.Effect) { hashEffect(sum, at, node, effect) }
	if _, _, err := playObserved(sc, observe); err != nil {
		t.Error(err)
	}
	return fmt.Sprintf("%x", sum.Sum(nil))
}

// hashEffect adds one effect by its values, so that renamed types and fields
// leave the digest as it is.
func hashEffect(sum hash.Hash, at micros.Micros, node string, effect message.Effect) {
	add := func(kind string, values ...any) {
		text, err := json.Marshal(values)
		if err != nil {
			panic(err) // plain records: cannot fail
		}
		_, _ = fmt.Fprintln(sum, at, node, kind, string(text)) // a hash takes everything
	}
	switch v := effect.(type) {
	case message.Answer:
		if _, refused := v.Body.(api.Error); refused {
			v.Body = nil // the JSON library words its errors by build
		}
		if order, ok := v.Body.(leadership.Order[api.HeartbeatResponse]); ok {
			v.Body = order.Body()
		}
		add("answer", v.RequestID, v.Status, v.Body, v.RetryAfterS)
	case message.StoreCall:
		add("store", v.Call, v.Op, v.Key, v.Since, v.WaitMs, v.Lease, v.TTLMs, v.Transaction.Body(), v.Urgent)
	case message.CloudCall:
		add("cloud", v.Call, v.Op, v.Launch.Body(), v.Delete.Body(), v.After)
	case message.SendCommands:
		add("commands", v.Machine, v.Addr, v.Starts, v.Body.Body())
	case message.Broadcast:
		// As on the wire: what a controller sends another is named by the tags of
		// its fields, not by their names in Go.
		heartbeat := *v.Heartbeat
		encoded, err := peer.Encode(&heartbeat)
		if err != nil {
			panic(err) // plain records: cannot fail
		}
		add("heartbeat", encoded)
	}
}
