package org.citrontide.gateway.daemon;

import javax.inject.Named;
import javax.inject.Singleton;

import dagger.Component;
import io.netty.channel.EventLoopGroup;
import org.citrontide.gateway.admin.PageServer;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayShell;
import org.citrontide.gateway.memory.LoopLagMonitor;

/** Dagger component that holds the objects of a gateway. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {
    EventLoopGroup eventLoops();

    @Named("admin")
    PageServer adminServer();

    @Named("peers")
    PageServer peerServer();

    CallerServer callerServer();

    LoopLagMonitor loopLagMonitor();

    GatewayShell shell();

    ControlPlane controlPlane();
}
