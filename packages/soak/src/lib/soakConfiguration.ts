import { testConfiguration } from "@waxwingspar/platform/testing";
import { largePrefix } from "./SoakTargets.js";

/** Milliseconds that the longest streams and the slowest readers don't reach on a busy machine. */
export const longTimeout = 9_000;

/** A configuration in which streams may be long, with a route for large answers. */
export function soakConfiguration(version: number): ReturnType<typeof testConfiguration> {
    const { Routes, ...others } = testConfiguration(version);
    const routes = Routes.map(route => route.RouteType === "streaming" ? { ...route, TimeoutMs: longTimeout } : route);
    const large = Routes.filter(({ Name }) => Name === "get").map(route => ({
        ...route,
        Name: "large",
        PathPrefix: largePrefix,
        TimeoutMs: longTimeout,
    }));
    return { ...others, Routes: [...routes, ...large] };
}
