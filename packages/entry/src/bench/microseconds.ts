const nanosecondsPerMicrosecond = 1000n;

/** The time of the monotonic clock in microseconds. All processes of a machine share this clock. */
export function microseconds(): number {
    return Number(process.hrtime.bigint() / nanosecondsPerMicrosecond);
}
