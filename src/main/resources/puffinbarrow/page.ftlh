<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${title}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 930px; margin: 2em auto; color: #222; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .25em .7em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
h2 { font-size: 1.05em; margin: 1.6em 0 .2em; }
pre { background: #f6f6f6; padding: 1em; overflow-x: auto; font-size: 12px; }
.note { color: #666; }
.bad { color: #a33; font-weight: bold; }
img { max-width: 100%; }
</style>
</head>
<body>
<h1>${title}</h1>
<p class="note">${note}</p>
<#if !whole><p class="bad">Outcomes do not add up to the flows intended: these figures are not valid.</p></#if>
<#if busy?has_content>
<p class="bad">This host itself was busy in the seconds <#list busy as second>${second}<#sep>, </#list>: high latencies in them are not only the target's.</p>
</#if>
<table>
<tr><#list columns as column><th>${column}</th></#list></tr>
<#list rows as row>
<tr><#list row as cell><td>${cell}</td></#list></tr>
</#list>
</table>
<#if rules?has_content>
<h2>The five rules, from what passed on the sockets</h2>
<ul>
<#list rules as rule>
<li<#if rule?starts_with("BROKEN")> class="bad"</#if>>${rule}</li>
</#list>
</ul>
</#if>
<#list charts as name, picture>
<h2>${name}</h2>
<img src="${picture}" alt="${name}">
</#list>
<h2>In words</h2>
<pre>${text}</pre>
</body>
</html>
