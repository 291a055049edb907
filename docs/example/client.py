"""The unmodified `openai` client, whole and streaming."""

from __future__ import annotations

import openai

client = openai.OpenAI(
    base_url='http://127.0.0.1:7100/v1', api_key='example-account-token'
)
messages = [{'role': 'user', 'content': 'Slots today? [[tokens=5]]'}]
whole = client.chat.completions.create(model='depot-writer', messages=messages)
print(whole.choices[0].message.content, whole.usage)

stream = client.chat.completions.create(
    model='depot-writer', messages=messages, stream=True
)
for event in stream:
    print(event.choices[0].delta.content, end='', flush=True)
print()
