package catalog

// ClientAccount is one client account.
type ClientAccount struct {
	Name        string
	Priority    int
	HasPriority bool // Priority replaces that of the route
}
