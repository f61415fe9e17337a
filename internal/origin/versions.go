package origin

import (
	"maps"
	"slices"
)

const (
	// maxServices and maxVersions bound the state: versions are added by what targets say.
	maxServices = 1024
	maxVersions = 64 // of a service
)

// Versions holds which software versions of each service may have begun streams. It isn't safe for
// concurrent use.
type Versions struct {
	revision uint64
	services map[string]ServiceVersions
}

// ServiceVersions are the software versions of a service.
type ServiceVersions struct {
	// First is the version whose streams need no records: the one that was added first, until
	// another one has been the only active one for a while.
	First string
	// Active are the versions that may have begun streams which are still taken up, sorted.
	Active []string
}

// FirstChanges reports whether another version than the first one is the only active one, and becomes
// the first one if that lasts.
func (s ServiceVersions) FirstChanges() bool { return len(s.Active) == 1 && s.Active[0] != s.First }

// Has reports whether a version is active.
func (s ServiceVersions) Has(software string) bool { return slices.Contains(s.Active, software) }

// NewVersions returns Versions of no service.
func NewVersions() *Versions { return RestoreVersions(0, nil) }

// RestoreVersions returns the Versions that a snapshot holds.
func RestoreVersions(revision uint64, services map[string]ServiceVersions) *Versions {
	v := &Versions{revision: revision, services: map[string]ServiceVersions{}}
	maps.Copy(v.services, services)
	return v
}

// Revision counts the changes.
func (v *Versions) Revision() uint64 { return v.revision }

// Of returns the versions of a service; none if it has begun no stream yet.
func (v *Versions) Of(service string) ServiceVersions { return v.services[service] }

// All returns the versions of all services. It must not be modified.
func (v *Versions) All() map[string]ServiceVersions { return v.services }

// Add adds a version of a service and reports whether it is active now.
func (v *Versions) Add(service, software string) bool {
	s, known := v.services[service]
	switch {
	case s.Has(software):
		return true
	case !known && len(v.services) >= maxServices || len(s.Active) >= maxVersions:
		return false
	case !known:
		s.First = software
	}
	s.Active = slices.Sorted(slices.Values(append(slices.Clone(s.Active), software)))
	v.services[service] = s
	v.revision++
	return true
}

// Remove removes a version that began no stream which may still be taken up. The last one stays.
func (v *Versions) Remove(service, software string) bool {
	s := v.services[service]
	if len(s.Active) < 2 || !s.Has(software) {
		return false
	}
	s.Active = slices.DeleteFunc(slices.Clone(s.Active), func(other string) bool { return other == software })
	v.services[service] = s
	v.revision++
	return true
}

// SetFirst makes the only active version the first one. Processes that know the one before must
// have asked again since it was removed.
func (v *Versions) SetFirst(service, software string) bool {
	s := v.services[service]
	if len(s.Active) != 1 || s.Active[0] != software {
		return false
	}
	if s.First != software {
		s.First = software
		v.services[service] = s
		v.revision++
	}
	return true
}
