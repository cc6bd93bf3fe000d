package node

func (c *Core) Debug() []any {
	return []any{c.member.Serving(), c.config.Self.Incarnation, c.config.Self.Identity}
}
