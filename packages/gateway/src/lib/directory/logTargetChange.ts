import { type Logger } from "pino";
import { type DirectoryChange } from "./TargetDirectory.js";

/**
 * Logs a change of a target in the directory.
 *
 * @param listAge - Milliseconds since the directory was last confirmed.
 */
export function logTargetChange(logger: Logger, { kind, target, keptFor }: DirectoryChange, listAge: number): void {
    const { id, service, dataCentre, state, layers, startedAt } = target;
    logger.info(
        {
            target: id,
            startedAt,
            service,
            dataCentre,
            state,
            layers,
            change: kind,
            keptFor: keptFor === undefined ? undefined : Math.round(keptFor),
            listAge: Math.round(listAge),
        },
        `target ${kind}`,
    );
}
