package records

import (
	"strconv"

	"github.com/go-json-experiment/json"
)

// MustMarshal encodes a record of this package as JSON. It panics on an error, which the plain
// types of the records rule out.
func MustMarshal(record any) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return encoded
}

// EncodedSize returns how many bytes a machine's record takes in a log entry, including the
// comma that follows it.
func (r Machine) EncodedSize() int { return len(MustMarshal(r)) + len(",") }

// EncodedSize returns how many bytes a run takes in a log entry, including the comma that
// follows it. It computes the size without encoding the run, since it is called for each task
// that is added to an entry.
func (r TaskRun) EncodedSize() int {
	size := len(`{"j":""},`) + len(r.Job)
	for _, number := range []uint64{uint64(r.First), uint64(r.Tasks), uint64(r.State), uint64(r.Attempt)} {
		if number > 0 {
			size += len(`,"f":`) + len(strconv.FormatUint(number, 10))
		}
	}
	if r.Machine != "" {
		size += len(`,"m":""`) + len(r.Machine)
	}
	return size
}
