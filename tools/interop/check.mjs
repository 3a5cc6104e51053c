// Verifies what we signed with the official Standard Webhooks library, and signs the same messages with it.
import { readFileSync } from "node:fs";
import { Webhook } from "standardwebhooks";

let good = 0;
for (const line of readFileSync(0, "utf8").split("\n").filter(Boolean)) {
  const [secret, id, time, body, signature] = line.split("\t");
  const text = Buffer.from(body, "base64").toString("utf8");
  const hook = new Webhook(secret);
  const headers = { "webhook-id": id, "webhook-timestamp": time, "webhook-signature": signature };
  const signed = hook.sign(id, new Date(Number(time) * 1000), text);
  if (signed !== signature) throw new Error(`${id}: the library signs ${signed}, we ${signature}`);
  // The library parses what it has verified; where the body is no JSON, only the parsing may fail.
  try {
    hook.verify(text, headers);
  } catch (e) {
    if (!(e instanceof SyntaxError)) throw e;
  }
  let accepted = true;
  try {
    hook.verify(text + "!", headers);
  } catch (e) {
    accepted = e instanceof SyntaxError;
  }
  if (accepted) throw new Error(`${id}: a changed body was accepted`);
  good += 1;
  console.log([secret, id, time, body, signed].join("\t"));
}
console.error(`javascript: ${good} of ours accepted`);
