"""Views of live targets, sent by control replicas to entries as differences."""
