package org.citrontide.core.publication;

/** A file published by operators. Immutable. */
public sealed interface PublishedFile permits ServiceFile, TeamsFile {}
