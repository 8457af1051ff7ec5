import { type Message } from "@waxwingspar/transport";

/** The message with the given type. */
type Typed<Type extends Message["type"]> = Extract<Message, { type: Type; }>;

/** @internal */
export type JoinedMessage = Typed<"joined">;

/** @internal */
export type SampledMessage = Typed<"sampled">;

/** @internal */
export type StageFailedMessage = Typed<"stageFailed">;

/** @internal */
export type CancelMessage = Typed<"cancel">;

/** @internal */
export type CreditMessage = Typed<"credit">;

/** @internal */
export type CallCancelMessage = Typed<"callCancel">;
