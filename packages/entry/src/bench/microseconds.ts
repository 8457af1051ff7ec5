const nanosecondsPerMicrosecond = 1000n;

/** The monotonic clock of the machine, in microseconds; processes of one machine share it. */
export function microseconds(): number {
    return Number(process.hrtime.bigint() / nanosecondsPerMicrosecond);
}
