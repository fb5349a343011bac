package records

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
)

// jobIDPrefix is the prefix of all job ids. A number follows it.
const jobIDPrefix = "wk-"

// maxIDDigits bounds the digits of the ids that are read from a packed list, so that a damaged
// list cannot produce ids of unbounded length.
const maxIDDigits = 18

// PackDependencies moves the dependencies from Spec to PackedDependencies, a sorted form that
// takes a quarter of the bytes. For the ids of each length it holds the number of digits, the
// number of ids, and the difference of each id's number to the one before, all as
// variable-length integers.
func (r *Job) PackDependencies() {
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

// compareJobIDs orders ids by length, since ids that differ only in leading zeros are distinct,
// then by number.
func compareJobIDs(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// packIDs appends sorted ids of the same length to the packed dependencies.
func (r *Job) packIDs(ids []string) {
	packed := r.PackedDependencies
	packed = binary.AppendUvarint(packed, uint64(len(ids[0])-len(jobIDPrefix)))
	packed = binary.AppendUvarint(packed, uint64(len(ids)))
	last := uint64(0)
	for _, id := range ids {
		number, _ := strconv.ParseUint(id[len(jobIDPrefix):], 10, 64) // ids were validated before
		packed = binary.AppendUvarint(packed, number-last)
		last = number
	}
	r.PackedDependencies = packed
}

// Dependencies returns the ids of the jobs that a job depends on, from the packed and the plain
// form. If the packed list is damaged, it returns the ids that can be read.
func (r *Job) Dependencies() []string {
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

// formatJobID returns the job id with that number, padded with zeros to digits digits but at
// most to maxIDDigits.
func formatJobID(number uint64, digits int) string {
	text := strconv.FormatUint(number, 10)
	zeros := max(0, min(digits, maxIDDigits)-len(text))
	return jobIDPrefix + strings.Repeat("0", zeros) + text
}

// uvarintReader reads variable-length integers from bytes that may be damaged.
type uvarintReader struct{ rest []byte }

func (r *uvarintReader) atEnd() bool { return len(r.rest) == 0 }

// next returns the next integer. At the end or at a damaged integer it returns 0 and discards
// the remaining bytes.
func (r *uvarintReader) next() uint64 {
	value, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.rest = nil
		return 0
	}
	r.rest = r.rest[length:]
	return value
}
