"""Verifies what we signed with the official Standard Webhooks library, and signs the same messages with it."""

import base64
import datetime
import json
import sys

from standardwebhooks import Webhook
from standardwebhooks.webhooks import WebhookVerificationError

good = 0
for line in sys.stdin:
    secret, id_, time, body, signature = line.rstrip("\n").split("\t")
    data = base64.b64decode(body)
    hook = Webhook(secret)
    headers = {"webhook-id": id_, "webhook-timestamp": time, "webhook-signature": signature}
    text = data.decode()
    try:
        hook.verify(text, headers)
    except json.JSONDecodeError:
        pass  # it parses what it has verified, and this body is no JSON
    signed = hook.sign(id_, datetime.datetime.fromtimestamp(int(time), datetime.timezone.utc), text)
    if signed != signature:
        sys.exit(f"{id_}: the library signs {signed}, we {signature}")
    try:
        hook.verify(text + "!", headers)
        sys.exit(f"{id_}: a changed body was accepted")
    except WebhookVerificationError:
        pass
    good += 1
    print("\t".join([secret, id_, time, body, signed]))
print(f"python: {good} of ours accepted", file=sys.stderr)
