package org.citrontide.core.publication;

/** One file that operators publish. Immutable. */
public sealed interface PublishedFile permits ServiceFile, TeamsFile {}
