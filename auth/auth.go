// Package auth authenticates the sender of a request and defines what each role may do.
package auth

import "net/http"

// Role is the set of permissions of a principal.
type Role string

// Roles of principals.
const (
	// RoleBacker may submit work as itself and see its own jobs.
	RoleBacker Role = "backer"
	// RoleViewer may read the table, pools and maintenance.
	RoleViewer Role = "viewer"
	// RoleOperator may also change them.
	RoleOperator Role = "operator"
	// RolePeer is the role of the other entries.
	RolePeer Role = "peer"
)

// Principal is an authenticated sender.
type Principal struct {
	// Name is the backer's name for RoleBacker, else the name that is recorded in the history of changes.
	Name string
	Role Role
}

// Verifier authenticates requests.
type Verifier interface {
	// Identify returns the sender or an error with HTTP status 401 and verdict NotRun.
	Identify(r *http.Request) (Principal, error)
}
