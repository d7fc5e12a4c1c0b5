// Package stoatsetting parses the settings file of one entry instance.
package stoatsetting
