// Package spreader exchanges backend servers' announcements between entries, so that each entry knows every backend server.
package spreader
