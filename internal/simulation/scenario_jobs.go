package simulation

import (
	"cmp"

	"spurmoor/internal/api"

	"github.com/go-json-experiment/json"
)

const (
	defaultTeam = "norte"
	// defaultMemoryGB is the memory of a task. checkpointSaveS is the time that a task needs
	// to save a checkpoint.
	defaultMemoryGB = 1
	checkpointSaveS = 2
)

// spec returns the job with the given number in the form in which its user submits it.
func (j Job) spec(number int) api.Job {
	spec := api.Job{
		ID: jobID(number), Team: cmp.Or(j.Team, defaultTeam),
		Kind: cmp.Or(j.Kind, api.KindArray), Priority: cmp.Or(j.Priority, api.PriorityStandard), Tasks: max(1, j.Tasks),
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: cmp.Or(j.MemoryGB, defaultMemoryGB),
		Image: "img-" + string(j.Kind), ImageGB: j.ImageGB,
		Zone: j.Zone, OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot,
		EstimateS: j.EstimateS, CheckpointIntervalS: j.CheckpointS, DeadlineS: j.DeadlineS,
		Dependencies: j.dependencyIDs(number),
	}
	spec.Class = cmp.Or(j.Class, string(spec.Kind))
	if spec.EstimateS == 0 && spec.Kind != api.KindService {
		spec.EstimateS = j.RunS
	}
	if spec.CPUs == 0 {
		spec.CPUs = 1
	}
	if spec.CheckpointIntervalS > 0 {
		spec.CheckpointSaveS = checkpointSaveS
	}
	if j.Type != "" {
		spec.Types = []string{j.Type}
	}
	return spec
}

// specOf returns the job with an ID in the form in which its user submitted it, but for the
// numbers of the job and its dependencies.
func (s *Simulation) specOf(id string) api.Job {
	if spec, ok := s.specs[id]; ok {
		return spec
	}
	job, submitted := s.jobs[id]
	spec := job.spec(0)
	if submitted {
		s.specs[id] = spec
	}
	return spec
}

// dependencyIDs returns the IDs of the dependencies of the job with the given number.
func (j Job) dependencyIDs(number int) []string {
	var ids []string
	for _, dependency := range j.Dependencies {
		ids = append(ids, jobID(dependency))
	}
	for _, first := range j.PairedDependencies {
		ids = append(ids, jobID(first+number-j.ID))
	}
	return ids
}

// submission returns the body of the request that submits a job. It adds the nulls that
// PROTOCOL requires and that the encoding of api.Job omits.
func submission(spec api.Job) []byte {
	body := mustMarshal(spec)
	if spec.Zone != "" && spec.DeadlineS != 0 {
		return body
	}
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		panic(err) // cannot fail: the body was just encoded
	}
	if spec.Zone == "" {
		fields["Zona"] = nil
	}
	if spec.DeadlineS == 0 {
		fields["PlazoS"] = nil
	}
	return mustMarshal(fields, json.Deterministic(true))
}

// mustMarshal encodes a plain record. It panics on an error, which such a record can't cause.
func mustMarshal(value any, options ...json.Options) []byte {
	encoded, err := json.Marshal(value, options...)
	if err != nil {
		panic(err)
	}
	return encoded
}
