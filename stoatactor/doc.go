// Package stoatactor starts the actor library as this project uses it.
package stoatactor
