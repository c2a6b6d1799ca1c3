package org.citrontide.gateway.daemon;

import javax.inject.Singleton;

import dagger.Component;
import io.netty.channel.EventLoopGroup;
import org.citrontide.gateway.admin.AdminPages;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayShell;

/** The parts of a gateway, wired by Dagger. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayParts {
    EventLoopGroup loop();

    AdminPages adminPages();

    CallerServer callerServer();

    GatewayShell shell();

    ControlPlane controlPlane();
}
