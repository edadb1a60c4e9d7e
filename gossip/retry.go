package gossip

// Retries is what daemons sent to a service of late, so that all of them together keep to
// its retry budget.
type Retries struct {
	Asked int `json:"asked,omitempty"` // callers' requests in the last second
	Again int `json:"again,omitempty"` // sends of a request after its first, in the last second
	Known int `json:"known,omitempty"` // the same of all daemons in the budget's window, as far as the sender knows
}

// Plus returns what several daemons sent together. Each may know of all.
func (r Retries) Plus(other Retries) Retries {
	return Retries{Asked: r.Asked + other.Asked, Again: r.Again + other.Again, Known: max(r.Known, other.Known)}
}

// minus returns what is left without a part of it.
func (r Retries) minus(part Retries) Retries {
	return Retries{Asked: max(0, r.Asked-part.Asked), Again: max(0, r.Again-part.Again), Known: r.Known}
}
