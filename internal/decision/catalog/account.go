package catalog

// Account is one client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // Priority replaces that of the route
}
