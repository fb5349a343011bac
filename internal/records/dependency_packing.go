package records

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
)

// PackDependencies moves a job's needs into a form that takes a quarter of the room.
func (r *JobRecord) PackDependencies() {
	ids := slices.Clone(r.Spec.Dependencies)
	// By length, for leading zeros tell ids apart, then as numbers.
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	r.Spec.Dependencies = nil
	for len(ids) > 0 {
		same := slices.IndexFunc(ids, func(id string) bool { return len(id) != len(ids[0]) })
		if same < 0 {
			same = len(ids)
		}
		r.PackedDependencies = binary.AppendUvarint(binary.AppendUvarint(r.PackedDependencies, uint64(len(ids[0])-len(idPrefix))), uint64(same))
		last := uint64(0)
		for _, id := range ids[:same] {
			n, _ := strconv.ParseUint(id[len(idPrefix):], 10, 64) // its form was checked
			r.PackedDependencies = binary.AppendUvarint(r.PackedDependencies, n-last)
			last = n
		}
		ids = ids[same:]
	}
}

const idPrefix = "wk-"

// Dependencies gives what a job needs, in whichever form it is kept.
func (r *JobRecord) Dependencies() []string {
	ids := r.Spec.Dependencies
	b := r.PackedDependencies
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		b = b[max(0, n):]
		if n <= 0 {
			b = nil
		}
		return v
	}
	for len(b) > 0 {
		digits, count, last := int(next()), next(), uint64(0)
		for ; count > 0 && len(b) > 0; count-- {
			last += next()
			text := strconv.FormatUint(last, 10)
			for len(text) < min(digits, 18) {
				text = "0" + text
			}
			ids = append(ids, idPrefix+text)
		}
	}
	return ids
}
