package org.citrontide.core.faults;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the fault injection scenarios of this package. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.citrontide.core.faults")
final class FaultMatrixTest {}
