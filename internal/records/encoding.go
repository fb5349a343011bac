package records

import (
	"strconv"

	"github.com/go-json-experiment/json"
)

// MustMarshal encodes one of our own plain records, which cannot fail.
func MustMarshal(record any) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return encoded
}

// EncodedSize returns how many bytes a machine's record takes in an entry, with the comma
// that follows it.
func (r MachineRecord) EncodedSize() int { return len(MustMarshal(r)) + len(",") }

// EncodedSize returns how many bytes a run takes in an entry, with the comma that follows
// it. It is computed rather than measured by encoding the run, since entries are filled
// task by task.
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
