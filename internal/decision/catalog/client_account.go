package catalog

// ClientAccount is the client account of a caller.
type ClientAccount struct {
	Name        string
	Priority    int
	HasPriority bool // whether Priority overrides that of the route
}
