// Package stoatwire decodes lists that other entries send, element by element.
package stoatwire
