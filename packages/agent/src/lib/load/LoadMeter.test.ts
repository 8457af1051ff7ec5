import { linkPair } from "@waxwingspar/transport";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadMeter } from "./LoadMeter.js";
