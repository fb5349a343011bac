package records

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
)

// jobIDPrefix begins the id of every job; a number follows.
const jobIDPrefix = "wk-"

// maxIDDigits bounds the digits of an id's number that are read from a packed list, so
// that a damaged one cannot ask for an id of any length.
const maxIDDigits = 18

// PackDependencies moves a job's dependencies into a form that takes a quarter of the
// bytes: for the ids of each length their number of digits, how many there are, and the
// difference of each number to the one before, all as variable-length integers.
func (r *JobRecord) PackDependencies() {
	ids := slices.Clone(r.Spec.Dependencies)
	slices.SortFunc(ids, compareJobIDs)
	r.Spec.Dependencies = nil
	for len(ids) > 0 {
		count := slices.IndexFunc(ids, func(id string) bool { return len(id) != len(ids[0]) })
		if count < 0 {
			count = len(ids)
		}
		r.packIDs(ids[:count])
		ids = ids[count:]
	}
}

// compareJobIDs orders ids by length, since leading zeros tell ids apart, then as numbers.
func compareJobIDs(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// packIDs appends ids of one length, in order, to the packed dependencies.
func (r *JobRecord) packIDs(ids []string) {
	packed := r.PackedDependencies
	packed = binary.AppendUvarint(packed, uint64(len(ids[0])-len(jobIDPrefix)))
	packed = binary.AppendUvarint(packed, uint64(len(ids)))
	last := uint64(0)
	for _, id := range ids {
		number, _ := strconv.ParseUint(id[len(jobIDPrefix):], 10, 64) // its form was checked
		packed = binary.AppendUvarint(packed, number-last)
		last = number
	}
	r.PackedDependencies = packed
}

// Dependencies returns the ids of the jobs that a job depends on, in whichever form they
// are kept. Of a damaged packed list it returns what can be read.
func (r *JobRecord) Dependencies() []string {
	ids := r.Spec.Dependencies
	packed := &uvarintReader{rest: r.PackedDependencies}
	for !packed.atEnd() {
		digits, count := int(packed.next()), packed.next()
		number := uint64(0)
		for ; count > 0 && !packed.atEnd(); count-- {
			number += packed.next()
			ids = append(ids, formatJobID(number, digits))
		}
	}
	return ids
}

// formatJobID returns the id of a number, padded with zeros to so many digits.
func formatJobID(number uint64, digits int) string {
	text := strconv.FormatUint(number, 10)
	zeros := max(0, min(digits, maxIDDigits)-len(text))
	return jobIDPrefix + strings.Repeat("0", zeros) + text
}

// uvarintReader reads variable-length integers from bytes that may be damaged.
type uvarintReader struct{ rest []byte }

func (r *uvarintReader) atEnd() bool { return len(r.rest) == 0 }

// next returns the next integer. Past the end or at a damaged one it returns 0, and
// nothing is left to be read.
func (r *uvarintReader) next() uint64 {
	value, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.rest = nil
		return 0
	}
	r.rest = r.rest[length:]
	return value
}
