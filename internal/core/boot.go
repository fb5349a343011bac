package core

import ()

// boots is what is seen of how long machines of a type take to come up.
type boots struct {
	born int64 // when the youngest that is up was rented
	took int64 // the quick ones of late
}

func (c *Core) noteBoot(m *machine) {
	b := c.boots[m.rec.Type]
	b.born = max(b.born, m.bornAt)
	// Not of one that another controller saw come up.
	if took := c.now - m.bornAt; m.waitFrom < m.bornAt+5*Second {
		if b.took == 0 || took < b.took {
			b.took = took
		} else {
			b.took += (took - b.took) / 4
		}
	}
	c.boots[m.rec.Type] = b
}

// overdue tells whether a machine that is not up does not count as room that comes
// any more: it takes twice as long as its type does, and far longer than others of it
// took of late, one of which was rented no earlier. Where none is up, all are late,
// and renting as many again would bring nothing sooner.
func (c *Core) overdue(m *machine) bool {
	if m.upAt > 0 {
		return false
	}
	if m.typ == nil {
		return c.now > m.bornAt+180*Second
	}
	age, boot := c.now-m.bornAt, secs(m.typ.BootS)
	if b := c.boots[m.rec.Type]; b.took > 0 && b.born >= m.bornAt-5*Second {
		return age > max(2*boot, b.took*5/2)
	}
	return age > 3*boot
}
