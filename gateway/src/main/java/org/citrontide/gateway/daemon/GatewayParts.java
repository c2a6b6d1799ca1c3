package org.citrontide.gateway.daemon;

import javax.inject.Named;
import javax.inject.Singleton;

import dagger.Component;
import io.netty.channel.EventLoopGroup;
import org.citrontide.gateway.admin.SmallHttpServer;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayShell;

/** The parts of a gateway, wired by Dagger. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayParts {
    EventLoopGroup loop();

    @Named("admin")
    SmallHttpServer adminServer();

    @Named("peers")
    SmallHttpServer peerServer();

    CallerServer callerServer();

    GatewayShell shell();

    ControlPlane controlPlane();
}
