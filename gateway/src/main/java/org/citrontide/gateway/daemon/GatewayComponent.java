package org.citrontide.gateway.daemon;

import javax.inject.Named;
import javax.inject.Singleton;

import dagger.Component;
import io.netty.channel.EventLoopGroup;
import org.citrontide.gateway.admin.SmallHttpServer;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayShell;

/** Dagger component that holds the objects of a gateway. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {
    EventLoopGroup eventLoops();

    @Named("admin")
    SmallHttpServer adminServer();

    @Named("peers")
    SmallHttpServer peerServer();

    CallerServer callerServer();

    GatewayShell shell();

    ControlPlane controlPlane();
}
