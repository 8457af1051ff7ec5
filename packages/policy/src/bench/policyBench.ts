import { benchCases } from "./BenchCase.js";
import { baselinePolicies, fifoPolicy, ownPolicy } from "./BenchPolicy.js";
import { BenchWorld } from "./BenchWorld.js";
for (const benchCase of benchCases.filter((_, i) => (process.argv[2] ?? "0,1,2,3,4,5,6,7").includes(String(i)))) {
    for (const policy of [ownPolicy(), ...baselinePolicies, fifoPolicy]) {
        const t = performance.now();
        const m = new BenchWorld(benchCase, policy, 1).run();
        process.stdout.write(
            `${benchCase.name.padEnd(18)} ${policy.name.padEnd(24)} offered ${m.rate("offered").toFixed(1)} good ${
                m.rate("good").toFixed(1)
            } ft95 ${m.p95(m.firstTokens).toFixed(0)} itl95 ${m.p95(m.intervals).toFixed(1)} hit ${
                (m.cachedBlocks / m.promptBlocks).toFixed(2)
            } retries ${m.retries} refusals ${m.refusals} ${(performance.now() - t).toFixed(0)}ms\n`,
        );
    }
}
